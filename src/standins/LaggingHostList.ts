import type { HostList, ListedHost } from "../hostlist/index.js";
import type { Clock } from "../time/index.js";

interface TimedList {
    readonly time: number;
    readonly hosts: readonly ListedHost[];
}

/** A list of hosts that shows each change only after a lag. */
export class LaggingHostList implements HostList {
    /** Time until a change shows, in milliseconds. */
    lagMs: number;
    readonly #clock: Clock;
    #lists: TimedList[];

    /**
     * @param clock - The source of time.
     * @param hosts - The list at the start.
     * @param lagMs - Time until a change shows, in milliseconds.
     */
    constructor(clock: Clock, hosts: readonly ListedHost[], lagMs: number) {
        this.#clock = clock;
        this.lagMs = lagMs;
        this.#lists = [{ time: -Infinity, hosts }];
    }

    /** Gets the list as it stood before the lag. */
    getHosts(): Promise<readonly ListedHost[]> {
        const time = this.#clock.getTime() - this.lagMs;
        const shown = this.#lists.findLast(list => list.time <= time) ?? this.#lists[0]!;
        return Promise.resolve(shown.hosts);
    }

    /** Gets the newest list, which may not show yet. */
    getNewest(): readonly ListedHost[] {
        return this.#lists.at(-1)!.hosts;
    }

    /**
     * Applies a new list.
     * @param hosts - The hosts.
     */
    apply(hosts: readonly ListedHost[]): void {
        this.#lists.push({ time: this.#clock.getTime(), hosts });
    }
}
