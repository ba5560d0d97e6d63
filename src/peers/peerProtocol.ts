/** Names and limits of the protocol between entry hosts. */
export const peerProtocol = {
    callPath: "/rpc",
    forwardPath: "/forward",
    secretHeader: "x-peer-secret",
    /** The sender's availability zone. */
    zoneHeader: "x-peer-zone",
    requestHeader: "x-peer-request",
    answerHeader: "x-peer-answer",
    /** Largest total size of the header fields of a message, in bytes. */
    maxHeaderBytes: 64 * 1024,
    /** Largest size of a call's parameters or result, in bytes. */
    maxCallBytes: 8 * 1024 * 1024,
    /** Largest size of a forwarded request's body, in bytes: far above what routes allow, which the first host has checked. */
    maxBodyBytes: 1024 * 1024 * 1024,
} as const;
