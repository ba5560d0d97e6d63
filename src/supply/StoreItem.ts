import type { Upstream } from "../configuration/index.js";
import type { Member } from "../head/index.js";
import type { StoreItemKind } from "./StoreItemKind.js";
import type { SuppliedDocument } from "./SuppliedDocument.js";

/** An item of the platform's store, decoded. */
export type StoreItem =
    | { readonly kind: StoreItemKind.Configuration; readonly document: SuppliedDocument; }
    | {
        readonly kind: StoreItemKind.Upstream;
        readonly service: string;
        readonly upstream: Upstream;
        /** When the upstream's process started, in milliseconds since the Unix epoch; 0 if unknown. */
        readonly startTime: number;
        /** Rises with each registration that the process writes. */
        readonly sequence: number;
    }
    | { readonly kind: StoreItemKind.Host; readonly member: Member; }
    | { readonly kind: StoreItemKind.Evacuation; readonly zone: string; }
    | { readonly kind: StoreItemKind.Other; }
    | { readonly kind: StoreItemKind.Invalid; readonly reason: string; };
