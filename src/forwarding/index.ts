export { HttpPeerForwarder } from "./HttpPeerForwarder.js";
export type { PeerAnswerHead } from "./PeerAnswerHead.js";
export type { PeerForwarder } from "./PeerForwarder.js";
export { PeerListener } from "./PeerListener.js";
export type { PeerListenerOptions } from "./PeerListenerOptions.js";
export type { PeerRequestHead } from "./PeerRequestHead.js";
export { PeerRequestKind } from "./PeerRequestKind.js";
