export type { ServiceAnswer } from "./ServiceAnswer.js";
export type { ServiceRequest } from "./ServiceRequest.js";
export type { ServiceRunner } from "./ServiceRunner.js";
export type { UpstreamAnswer } from "./UpstreamAnswer.js";
export { UpstreamAnswerKind } from "./UpstreamAnswerKind.js";
export type { UpstreamSendOptions } from "./UpstreamSendOptions.js";
export type { UpstreamTransport } from "./UpstreamTransport.js";
