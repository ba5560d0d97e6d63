/** The services to which each route of the soak's documents may send, by the prefix of its paths. */
export const SERVICES_BY_PREFIX = [
    ["/lookup/", ["catalogue"]],
    ["/order/", ["orders"]],
    ["/books/", ["books", "catalogue"]],
] as const;
