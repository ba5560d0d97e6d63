/**
 * Creates the head of a request of the account without a rate limit.
 * @param method - The method.
 * @param path - The path.
 * @param id - The caller's id of the attempt.
 * @param fields - Further header fields.
 */
export function createHead(method: string, path: string, id: string, ...fields: readonly string[]): Buffer {
    const lines = [
        `${method} ${path} HTTP/1.1`,
        "host: shop.example",
        `fuchsiapath-attempt-id: ${id}`,
        "authorization: Bearer key-3",
        ...fields,
    ];
    return Buffer.from(`${lines.join("\r\n")}\r\n\r\n`);
}
