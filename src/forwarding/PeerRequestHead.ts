import type { CallerRequest } from "../requests/index.js";
import type { ServiceRequest } from "../services/index.js";
import type { PeerRequestKind } from "./PeerRequestKind.js";

/** A forwarded request without its body, as sent between entry hosts. */
export type PeerRequestHead =
    | { readonly kind: PeerRequestKind.Service; readonly request: Omit<ServiceRequest, "body">; }
    | {
        readonly kind: PeerRequestKind.Account;
        readonly request: Omit<CallerRequest, "body" | "account" | "route">;
        readonly account: string | undefined;
        readonly route: string;
    };
