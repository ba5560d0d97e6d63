import { isDeepStrictEqual } from "node:util";
import type { StoreItem } from "./StoreItem.js";
import { StoreItemKind } from "./StoreItemKind.js";

type RegisteredUpstream = Extract<StoreItem, { kind: StoreItemKind.Upstream; }>;

/**
 * Whether an item only renews the registration of an upstream, with no change but a higher sequence number and perhaps less cold time left.
 * The registration in which the cold time ends is not a renewal, nor is an older one.
 * @param previous - The previous item.
 * @param next - The next item.
 */
export function isRenewal(previous: StoreItem, next: StoreItem): boolean {
    return previous.kind === StoreItemKind.Upstream && next.kind === StoreItemKind.Upstream &&
        next.sequence > previous.sequence && isColdTimeFalling(previous, next) &&
        isDeepStrictEqual(removeRenewedFields(previous), removeRenewedFields(next));
}

function isColdTimeFalling(previous: RegisteredUpstream, next: RegisteredUpstream): boolean {
    const [before, after] = [previous.upstream.coldMs ?? 0, next.upstream.coldMs ?? 0];
    return before === after || (after > 0 && after < before);
}

function removeRenewedFields(item: RegisteredUpstream): RegisteredUpstream {
    return { ...item, sequence: 0, upstream: { ...item.upstream, coldMs: 0 } };
}
