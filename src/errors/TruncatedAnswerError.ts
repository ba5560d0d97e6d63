import { FuchsiapathError } from "./FuchsiapathError.js";

/** An upstream's answer ended before it was complete. */
export class TruncatedAnswerError extends FuchsiapathError {}
