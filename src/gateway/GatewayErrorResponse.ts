import type { HeaderFields } from "../outcomes/index.js";

/** The answer to a caller that no upstream has given. */
export interface GatewayErrorResponse {
    readonly status: number;
    readonly headers: HeaderFields;
    readonly body: string;
}
