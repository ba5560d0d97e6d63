import { PRIVATE_REQUEST_FIELDS } from "../outcomes/index.js";
import type { HeaderFields } from "../outcomes/index.js";

/**
 * Gets the header fields to forward to an upstream, without the caller's key and hop-by-hop fields.
 * @param headers - The caller's header fields.
 * @param secret - The secret part of the caller's key; a field that contains it is dropped.
 */
export function getForwardedHeaders(headers: HeaderFields, secret: string | undefined): HeaderFields {
    const connectionFields = getConnectionFields(headers);
    const kept = Object.entries(headers).filter(([name, value]) =>
        !PRIVATE_REQUEST_FIELDS.has(name) && !connectionFields.has(name) && !hasSecret(value, secret)
    );
    return Object.fromEntries(kept);
}

function getConnectionFields(headers: HeaderFields): Set<string> {
    const field = String(headers.connection ?? "");
    return new Set(field.split(",").map(name => name.trim().toLowerCase()));
}

function hasSecret(value: string | readonly string[], secret: string | undefined): boolean {
    return secret !== undefined && String(value).includes(secret);
}
