import { FuchsiapathError } from "./FuchsiapathError.js";

/** An upstream's answer ended before it was whole. */
export class TruncatedAnswerError extends FuchsiapathError {}
