/**
 * Gets the path of a request target, without its query.
 * @param target - The target.
 */
export function getPath(target: string): string {
    return target.split("?", 1)[0]!;
}
