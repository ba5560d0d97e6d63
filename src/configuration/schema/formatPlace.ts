/**
 * Formats the place of a value, for example "sections.orders.routes[2].path".
 * @param base - The place of the value that the path starts from; may be empty.
 * @param path - Field names and positions.
 */
export function formatPlace(base: string, path: readonly PropertyKey[]): string {
    let place = base;
    for (const part of path) {
        const isField = typeof part !== "number";
        place += isField ? `${place === "" ? "" : "."}${String(part)}` : `[${part}]`;
    }
    return place;
}
