/**
 * Formats a table with aligned columns.
 *
 * @param header - Titles of the columns.
 * @param rows - Cells of each row.
 * @returns The lines, the header first.
 */
export function formatTable(header: readonly string[], rows: ReadonlyArray<readonly string[]>): readonly string[] {
	const allRows = [header, ...rows];
	const widths = header.map((_, column) => Math.max(...allRows.map(row => (row[column] ?? '').length)));
	return allRows.map(row => header.map((_, column) => (row[column] ?? '').padEnd(widths[column]!)).join('  ').trimEnd());
}
