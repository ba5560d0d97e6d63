import type { PartEstimate } from "./PartEstimate.js";
import type { ZoneEstimate } from "./ZoneEstimate.js";

/**
 * Sums the estimates of parts up by zone, as a zone's requests are divided among its parts by their free slots.
 * @param parts - The estimates of a service's parts.
 */
export function createZoneEstimates(parts: readonly PartEstimate[]): readonly ZoneEstimate[] {
    const zones = [...new Set(parts.map(({ part }) => part.zone))];
    return zones.map(zone => createZoneEstimate(zone, parts.filter(({ part }) => part.zone === zone)));
}

function createZoneEstimate(zone: string, parts: readonly PartEstimate[]): ZoneEstimate {
    const known = parts.flatMap(({ capacity }) => capacity ?? []);
    const slots = measureSum(known, capacity => capacity.slots);
    const backlog = measureSum(known, capacity => capacity.backlog);
    const slotTimeMs = measureSum(known, capacity => capacity.slotTimeMs * capacity.slots) / slots;
    const isKnown = slots > 0 || (known.length > 0 && known.length === parts.length);
    const configured = measureSum(parts, ({ part }) => part.slots);
    return {
        zone,
        parts,
        waitMs: isKnown ? measureWait(slots, slotTimeMs, backlog) : undefined,
        servedShare: measureSum(parts, ({ part, servedShare }) => part.slots * servedShare) / configured,
    };
}

/** Measures the wait until the requests ahead have started and one more slot is released. */
function measureWait(slots: number, slotTimeMs: number, backlog: number): number {
    if (slots === 0) {
        return Number.POSITIVE_INFINITY;
    }
    return backlog < 0 ? 0 : (backlog + 1) * slotTimeMs / slots;
}

function measureSum<T>(values: readonly T[], getValue: (value: T) => number): number {
    return values.reduce((total, value) => total + getValue(value), 0);
}
