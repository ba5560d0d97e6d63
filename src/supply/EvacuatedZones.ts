import type { Upstream } from "../configuration/index.js";
import { Decision } from "../logging/index.js";
import type { DecisionLog } from "../logging/index.js";

/** The zones that operators have evacuated: their upstreams get nothing new until the zone is taken back. */
export class EvacuatedZones {
    readonly #decisions: DecisionLog;
    /** Zones by the keys of their entries. */
    readonly #zones = new Map<string, string>();
    /** The zones that are reported as evacuated. */
    #reported: ReadonlySet<string> = new Set();

    /** @param decisions - Records the changes. */
    constructor(decisions: DecisionLog) {
        this.#decisions = decisions;
    }

    /**
     * Adds an evacuated zone; returns whether it is new.
     * @param key - The key of its entry.
     * @param zone - The zone.
     */
    add(key: string, zone: string): boolean {
        const isNew = !this.#zones.has(key);
        this.#zones.set(key, zone);
        return isNew;
    }

    /**
     * Takes a zone back and returns it; undefined if it was not evacuated.
     * @param key - The key of its entry.
     */
    remove(key: string): string | undefined {
        const zone = this.#zones.get(key);
        this.#zones.delete(key);
        return zone;
    }

    /**
     * Whether a key is the one of an evacuated zone.
     * @param key - The key.
     */
    hasKey(key: string): boolean {
        return this.#zones.has(key);
    }

    /**
     * Applies the evacuations to an upstream: it drains while its zone is evacuated.
     * @param upstream - The upstream as registered.
     */
    apply(upstream: Upstream): Upstream {
        return this.#hasZone(upstream.zone) ? { ...upstream, draining: true, isEvacuated: true } : upstream;
    }

    /**
     * Records which zones were evacuated or taken back since the last call, and names those that no upstream and no host is in.
     * @param upstreams - The zones of the registered upstreams, one for each.
     * @param hosts - The zones of the registered hosts, one for each.
     */
    recordChanges(upstreams: readonly string[], hosts: readonly string[]): void {
        const zones = new Set(this.#zones.values());
        const record = (decision: Decision, reason: string, zone: string): void =>
            this.#decisions.record({
                decision,
                reason,
                figures: { zone, upstreams: upstreams.filter(other => other === zone).length, evacuated: zones.size },
            });
        for (const zone of zones) {
            if (!this.#reported.has(zone)) {
                const isKnown = upstreams.includes(zone) || hosts.includes(zone);
                record(
                    Decision.ZoneEvacuated,
                    isKnown ? "operators have evacuated it" : "no upstream and no host is in it",
                    zone,
                );
            }
        }
        for (const zone of this.#reported) {
            if (!zones.has(zone)) {
                record(Decision.ZoneTakenBack, "operators have taken it back", zone);
            }
        }
        this.#reported = zones;
    }

    #hasZone(zone: string): boolean {
        for (const evacuated of this.#zones.values()) {
            if (evacuated === zone) {
                return true;
            }
        }
        return false;
    }
}
