/** What a mock upstream does with a request. */
export enum UpstreamFaultMode {
    None = "well",
    /** Runs it and responds with status 500. */
    Failing = "failing",
    /** Does not run it and says so. */
    Shedding = "shedding",
    /** Does not run it and says so, with a body that has no end. */
    SheddingWithoutEnd = "shedding-without-end",
    /** Runs it and responds late. */
    Late = "late",
    /** Runs it and closes the connection without a response. */
    LosingResponses = "losing-responses",
}
