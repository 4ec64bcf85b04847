/**
 * Aligns cells in columns.
 *
 * @param header - Titles of the columns.
 * @param rows - Cells of each row.
 * @returns Lines, the header first.
 */
export function formatTable(header: readonly string[], rows: ReadonlyArray<readonly string[]>): readonly string[] {
	const all = [header, ...rows];
	const widths = header.map((_, column) => Math.max(...all.map(row => (row[column] ?? '').length)));
	return all.map(row => header.map((_, column) => (row[column] ?? '').padEnd(widths[column]!)).join('  ').trimEnd());
}
