export * from './scheduler.js';
export * from './cluster-scheduler.js';
export {checkGuarantees} from './check-guarantees.js';
export type {OrderingPolicy, OrderingPolicyFactory, QueuedJob} from './ordering-policy.js';
export {FirstFitPolicy} from './first-fit-policy.js';
export {LeastAttainedPolicy} from './least-attained-policy.js';
export {BalancedPolicy} from './balanced-policy.js';
export {DeclaredCapacity} from './declared-capacity.js';
export type {EmptyClusterRefusal} from './empty-cluster.js';
