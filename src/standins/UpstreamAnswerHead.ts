/** The first line of an upstream stand-in's answer, as JSON; the rest of the body is filler up to its size. */
export interface UpstreamAnswerHead {
    readonly requestId: string | undefined;
    /** Path with query of the request that the answer belongs to. */
    readonly path: string;
    readonly upstream: string;
    /** Size of the whole body in bytes. */
    readonly bytes: number;
}
