import type { Member } from "../../src/head/index.js";

const ZONES = ["zone-a", "zone-b", "zone-c"];
const PEER_PORT = 10_000;
const CALLER_PORT = 20_000;

/**
 * Creates the membership entry of a host for tests; hosts are spread over the zones round-robin.
 * @param index - Index of the host.
 * @param incarnation - Its incarnation.
 */
export function createMember(index: number, incarnation = "1"): Member {
    return {
        id: `host-${index}`,
        region: "region-1",
        zone: ZONES[index % ZONES.length]!,
        peerAddress: `127.0.0.1:${PEER_PORT + index}`,
        callerAddress: `127.0.0.1:${CALLER_PORT + index}`,
        incarnation,
    };
}
