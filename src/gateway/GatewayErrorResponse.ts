import type { HeaderFields } from "../outcomes/index.js";

/** A response that the gateway itself sends when there is no response of an upstream. */
export interface GatewayErrorResponse {
    readonly status: number;
    readonly headers: HeaderFields;
    readonly body: string;
}
