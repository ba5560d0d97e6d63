import { CONNECTION_FIELDS } from "./CONNECTION_FIELDS.js";

/** Header fields of a caller's request that are never forwarded: credentials, and fields that the proxy sets itself. */
export const PRIVATE_REQUEST_FIELDS: ReadonlySet<string> = new Set([
    ...CONNECTION_FIELDS,
    "authorization",
    "content-length",
    "cookie",
    "expect",
    "host",
    "proxy-authenticate",
    "proxy-authorization",
    "x-account",
    "x-api-key",
    "x-deadline-ms",
    "x-request-id",
    "x-timeout-ms",
]);
