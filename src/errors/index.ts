export { AnswerCutError } from "./AnswerCutError.js";
export type { Finding } from "./Finding.js";
export { FindingsError } from "./FindingsError.js";
export { FuchsiapathError } from "./FuchsiapathError.js";
export { PeerUnavailableError } from "./PeerUnavailableError.js";
export { StoreLimitError } from "./StoreLimitError.js";
export { StoreUnavailableError } from "./StoreUnavailableError.js";
export { StoreValueError } from "./StoreValueError.js";
export { UnexpectedVariantError } from "./UnexpectedVariantError.js";
