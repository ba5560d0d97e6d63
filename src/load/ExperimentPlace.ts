/** Where an experiment runs; added to what its file says. */
export interface ExperimentPlace {
    /** Caller addresses of entry hosts, as "http://ip:port". */
    readonly entries: readonly string[];
    /** Endpoints with the upstreams' records. */
    readonly records: readonly string[];
    /** URLs by the name that faults use. */
    readonly targets: Readonly<Record<string, string>>;
    /** Process ids by the name that faults use. */
    readonly processes: Readonly<Record<string, number>>;
    /** Keys, "keyId.secret", by account name. */
    readonly keys: Readonly<Record<string, string>>;
}
