/** Name of the package. */
export const PACKAGE_NAME = '@amaranthsail/bench';
