/**
 * Formats the path of a value in the document, for example "sections.orders.routes[2].path".
 * @param base - The path of the value that the relative path starts from; may be empty.
 * @param path - The relative path as field names and array indexes.
 */
export function formatPlace(base: string, path: readonly PropertyKey[]): string {
    let place = base;
    for (const part of path) {
        const isField = typeof part !== "number";
        place += isField ? `${place === "" ? "" : "."}${String(part)}` : `[${part}]`;
    }
    return place;
}
