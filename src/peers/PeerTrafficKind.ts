/** What the bytes between entry hosts carry. */
export enum PeerTrafficKind {
    /** Forwarded requests. */
    Requests = "requests",
    /** Answers to forwarded requests. */
    Answers = "answers",
    /** Tokens of rate limits. */
    Tokens = "tokens",
    /** Health and load that the parts of services tell each other, and crashes. */
    Sharing = "sharing",
    /** Copies of the store and of the configuration, and the membership. */
    Copies = "copies",
    /** Queries for orders and for the outcomes of requests, and their hand-over. */
    Outcomes = "outcomes",
    /** Checks whether a host answers and serves. */
    Checks = "checks",
}
