import { isDeepStrictEqual } from "node:util";
import type { StoreItem } from "./StoreItem.js";
import { StoreItemKind } from "./StoreItemKind.js";

type RegisteredUpstream = Extract<StoreItem, { kind: StoreItemKind.Upstream; }>;

/**
 * Whether an item is the next message of the same upstream that says nothing new. An older message isn't, nor is the first
 * one of an upstream that is cold no more.
 * @param previous - The item before.
 * @param next - The item after.
 */
export function isRenewal(previous: StoreItem, next: StoreItem): boolean {
    return previous.kind === StoreItemKind.Upstream && next.kind === StoreItemKind.Upstream &&
        next.sequence > previous.sequence && isColdTimeFalling(previous, next) &&
        isDeepStrictEqual(removeChanging(previous), removeChanging(next));
}

function isColdTimeFalling(previous: RegisteredUpstream, next: RegisteredUpstream): boolean {
    const [before, after] = [previous.upstream.coldMs ?? 0, next.upstream.coldMs ?? 0];
    return before === after || (after > 0 && after < before);
}

function removeChanging(item: RegisteredUpstream): RegisteredUpstream {
    return { ...item, sequence: 0, upstream: { ...item.upstream, coldMs: 0 } };
}
