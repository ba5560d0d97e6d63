/** Hop-by-hop header fields, which are never forwarded. */
export const CONNECTION_FIELDS: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);
