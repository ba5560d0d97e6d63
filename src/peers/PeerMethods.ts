/**
 * The parameters and the result of each method, which are JSON values. Each module adds its own methods in its file peerMethods.ts, so
 * that this module depends on none of them.
 */
export interface PeerMethods {}
