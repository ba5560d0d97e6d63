import type { KeyPrefix } from "./KeyPrefix.js";

const PREFIX_PATTERN = /^fp1-([A-Za-z0-9_-]+)\../;

/**
 * Decodes the prefix of an idempotency key; undefined if the key has none.
 * @param key - The whole key, "<prefix>.<id chosen by the caller>".
 */
export function decodeKeyPrefix(key: string): KeyPrefix | undefined {
    const encoded = PREFIX_PATTERN.exec(key)?.[1];
    const parts = encoded === undefined ? undefined : parseParts(Buffer.from(encoded, "base64url").toString());
    if (!Array.isArray(parts)) {
        return undefined;
    }
    const [memberId, incarnation, minute] = parts as unknown[];
    const isValid = typeof memberId === "string" && typeof incarnation === "string" &&
        typeof minute === "number" && Number.isSafeInteger(minute) && minute >= 0;
    return isValid ? { memberId, incarnation, minute } : undefined;
}

function parseParts(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
