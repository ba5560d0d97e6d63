export { AnswerCutError } from "./AnswerCutError.js";
export type { Finding } from "./Finding.js";
export { FindingsError } from "./FindingsError.js";
export { FuchsiapathError } from "./FuchsiapathError.js";
export { PeerUnavailableError } from "./PeerUnavailableError.js";
export { StoreUnavailableError } from "./StoreUnavailableError.js";
export { UnexpectedVariantError } from "./UnexpectedVariantError.js";
