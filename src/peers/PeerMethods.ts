/**
 * The parameters and the result of each call between entry hosts; all are JSON values. Each concept declares its own calls in its
 * file peerMethods.ts, so that this one knows none of them.
 */
export interface PeerMethods {}
