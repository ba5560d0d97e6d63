import { createHash } from "node:crypto";
import type { EntrySettings } from "../settings/index.js";
import { FLEET_OPERATOR } from "./FLEET_OPERATOR.js";
import type { FleetAddresses } from "./FleetAddresses.js";
import type { FleetOptions } from "./FleetOptions.js";

const SEED_PEERS = 3;
const HOST_LIST_LAG_MS = 2000;
const STOP_TIMEOUT_MS = 10_000;

/**
 * Creates the settings of an entry host of a test fleet.
 * @param options - The fleet.
 * @param addresses - The fleet's addresses.
 * @param index - The entry host's number.
 * @param zone - Its availability zone.
 */
export function createEntrySettings(
    options: FleetOptions,
    addresses: FleetAddresses,
    index: number,
    zone: string,
): EntrySettings {
    const tokenHash = createHash("sha256").update(FLEET_OPERATOR.token).digest("base64url");
    return {
        id: `entry-${index}`,
        region: "region-1",
        zone,
        callerAddress: addresses.getCaller(index),
        peerAddress: addresses.getPeer(index),
        operatorAddress: addresses.getOperator(index),
        storeAddress: addresses.getStore(),
        hostListAddress: addresses.getHostList(),
        seedPeers: Array.from({ length: SEED_PEERS }, (_, seed) => addresses.getPeer(seed)),
        peerSecret: "a-peer-secret-for-test-fleets-only",
        operators: [{ name: FLEET_OPERATOR.name, tokenHash }],
        policy: options.policy,
        lookupLifetimeMs: options.lookupLifetimeMs,
        hostListLagMs: HOST_LIST_LAG_MS,
        stopTimeoutMs: STOP_TIMEOUT_MS,
        logLevel: "info",
    };
}
