/**
 * Decodes a JSON value from base64url, the inverse of encodeJson; throws a SyntaxError if it is not JSON.
 * @param text - The encoded value.
 */
export function decodeJson(text: string): unknown {
    return JSON.parse(Buffer.from(text, "base64url").toString());
}
