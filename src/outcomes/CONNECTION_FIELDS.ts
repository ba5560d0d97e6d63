/** Header fields that belong to one connection and are never passed on. */
export const CONNECTION_FIELDS: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);
