import { StoreUnavailableError } from "./StoreUnavailableError.js";

/** The platform's store refused a call because of its rate limit; the call had no effect. */
export class StoreLimitError extends StoreUnavailableError {}
