/**
 * Encodes a JSON value as base64url, which is valid in a header field.
 * @param value - The value.
 */
export function encodeJson(value: unknown): string {
    return Buffer.from(JSON.stringify(value)).toString("base64url");
}
