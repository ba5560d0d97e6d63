export type { PeerForwarder } from "./PeerForwarder.js";
export type { PeerHandler } from "./PeerHandler.js";
export { PeerHandlers } from "./PeerHandlers.js";
export { PeerMethod } from "./PeerMethod.js";
export type { PeerMethods } from "./PeerMethods.js";
export type { PeerTransport } from "./PeerTransport.js";
