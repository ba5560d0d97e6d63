import { isDeepStrictEqual } from "node:util";
import { SuppliedConfiguration } from "../configuration/index.js";
import type { Service } from "../configuration/index.js";
import type { Member } from "../head/index.js";
import { Decision } from "../logging/index.js";
import type { ReplicaEvent } from "../replica/index.js";
import { EvacuatedZones } from "./EvacuatedZones.js";
import { isRenewal } from "./isRenewal.js";
import type { StoreItem } from "./StoreItem.js";
import { StoreItemKind } from "./StoreItemKind.js";
import type { SuppliedDocument } from "./SuppliedDocument.js";
import type { SupplyOptions } from "./SupplyOptions.js";
import { WarmTimes } from "./WarmTimes.js";

/**
 * Delay of removals after a store outage. The platform states that entries which expired during the outage are registered again within
 * two seconds of the store's return; entries that are still missing then are removed.
 */
const REMOVAL_DELAY_MS = 2_100;

/** Removed upstreams that are remembered, those removed last. */
const MAX_REMOVED_UPSTREAMS = 1_000;

type RegisteredUpstream = Extract<StoreItem, { kind: StoreItemKind.Upstream; }>;

/** Builds the configuration in force and the list of hosts from the items of the platform's store. */
export class Supply {
    readonly #options: SupplyOptions;
    readonly #upstreams = new Map<string, RegisteredUpstream>();
    readonly #hosts = new Map<string, Member>();
    readonly #evacuatedZones: EvacuatedZones;
    readonly #warmTimes: WarmTimes;
    /** The last registration of each removed upstream by key, removed least recently first. */
    readonly #removedUpstreams = new Map<string, RegisteredUpstream>();
    /** The versions of the documents that the store holds, by key. */
    readonly #storedVersions = new Map<string, number>();
    /** Keys whose removal is delayed, because their leases may have expired during a store outage. */
    readonly #delayedRemovals = new Set<string>();
    readonly #listeners: (() => void)[] = [];
    /** When this host's own entry was last removed from the store, in milliseconds of the clock. */
    #ownRemovalTime = Number.NEGATIVE_INFINITY;
    /** When the store was found to have returned from an older copy, in milliseconds of the clock. */
    #historyLossTime = Number.NEGATIVE_INFINITY;
    #document: SuppliedDocument | undefined;
    #documentValue = "";
    #hostList: readonly Member[] = [];
    /** Whether there are changes that are not published yet. */
    #isChanged = false;
    #configuration: SuppliedConfiguration | undefined;

    /** @param options - Dependencies of the supply. */
    constructor(options: SupplyOptions) {
        this.#options = options;
        this.#evacuatedZones = new EvacuatedZones(options.decisions);
        this.#warmTimes = new WarmTimes(options.clock);
    }

    /** Gets the configuration in force with the registered upstreams; undefined before the first one. */
    getConfiguration(): SuppliedConfiguration | undefined {
        return this.#configuration;
    }

    /** Gets the number of findings on entries of the document in force that can't be served. */
    getFindingCount(): number {
        return this.#document?.findings.length ?? 0;
    }

    /** Gets the registered entry hosts. */
    getHosts(): readonly Member[] {
        return this.#hostList;
    }

    /**
     * Adds a listener that runs after each change of the configuration, the upstreams or the hosts.
     * @param listener - What to run.
     */
    addListener(listener: () => void): void {
        this.#listeners.push(listener);
    }

    /** Records that the store has returned from an older copy: what is missing there is not removed yet. */
    recordHistoryLoss(): void {
        this.#historyLossTime = this.#options.clock.getTime();
    }

    /** Finds the text of the document in force if the store holds only older ones. */
    findLostDocument(): string | undefined {
        return this.#document === undefined ||
                [...this.#storedVersions.values()].some(version => version >= this.#document!.version)
            ? undefined
            : this.#documentValue;
    }

    /**
     * Whether an upstream or a host is registered under a key.
     * @param key - The key.
     */
    hasEntry(key: string): boolean {
        return this.#upstreams.has(key) || this.#hosts.has(key);
    }

    /**
     * Applies changes of the store's items.
     * @param events - The changes.
     */
    apply(events: readonly ReplicaEvent[]): void {
        // This host is running and has renewed its entry, so the store has ended leases early, and not this one alone.
        if (events.some(event => this.#isOwnRemoval(event))) {
            this.#ownRemovalTime = this.#options.clock.getTime();
            this.#record("own-entry-lapsed", { hosts: this.#hosts.size, upstreams: this.#upstreams.size });
            this.#options.onOwnEntryLost();
        }
        events.forEach(event => this.#applyEvent(event));
        this.#publish();
    }

    #applyEvent(event: ReplicaEvent): void {
        if (event.value === undefined) {
            this.#removeOrDelay(event.key);
            return;
        }
        this.#delayedRemovals.delete(event.key);
        const item = this.#options.decoder.decode(event.key, event.value);
        this.#applyItem(event, item);
    }

    #isOwnRemoval({ key, value }: ReplicaEvent): boolean {
        const member = this.#hosts.get(key);
        return value === undefined && member !== undefined && this.#options.isOwnEntry(member);
    }

    #applyItem(event: ReplicaEvent, item: StoreItem): void {
        switch (item.kind) {
            case StoreItemKind.Configuration:
                this.#storedVersions.set(event.key, item.document.version);
                this.#applyDocument(item.document, event.value ?? "");
                break;
            case StoreItemKind.Upstream:
                this.#applyUpstream(event.key, item);
                break;
            case StoreItemKind.Host:
                this.#applyHost(event.key, item.member);
                break;
            case StoreItemKind.Evacuation:
                this.#isChanged = this.#evacuatedZones.add(event.key, item.zone) || this.#isChanged;
                break;
            case StoreItemKind.Other:
                break;
            case StoreItemKind.Invalid:
                // A value that can't be read takes no zone back.
                if (!this.#evacuatedZones.hasKey(event.key)) {
                    this.#remove(event.key);
                }
                this.#record("entry-not-readable", { key: event.key, revision: event.revision, detail: item.reason });
                break;
        }
    }

    /**
     * Applies a registration of an upstream, unless a newer one of the same upstream is known. A store that has returned from an older copy may
     * hold the registration of an upstream that has left since.
     */
    #applyUpstream(key: string, item: RegisteredUpstream): void {
        const known = this.#upstreams.get(key);
        const removed = Number.isFinite(this.#historyLossTime) ? this.#removedUpstreams.get(key) : undefined;
        const isOvertaken = (known !== undefined && isOlder(item, known)) ||
            (removed !== undefined && removed.startTime > 0 &&
                (isOlder(item, removed) || isSameRegistration(item, removed)));
        if (isOvertaken) {
            const knownSequence = (known ?? removed)!.sequence;
            this.#record("entry-overtaken", { key, sequence: item.sequence, knownSequence });
            return;
        }
        this.#removedUpstreams.delete(key);
        this.#upstreams.set(key, item);
        this.#warmTimes.recordUpstream(key, item.upstream);
        this.#isChanged ||= known === undefined || !isRenewal(known, item);
    }

    #applyHost(key: string, member: Member): void {
        // The store may carry out a write of the process before late, over the entry of this one.
        if (this.#options.isEarlierEntry(member)) {
            this.#record("own-entry-replaced", { hosts: this.#hosts.size, upstreams: this.#upstreams.size });
            this.#options.onOwnEntryLost();
        }
        this.#isChanged ||= !isDeepStrictEqual(this.#hosts.get(key), member);
        this.#hosts.set(key, member);
    }

    /** Applies a configuration document, unless its version is not newer than the one in force. */
    #applyDocument(document: SuppliedDocument, value: string): void {
        if (this.#document !== undefined && document.version <= this.#document.version) {
            return;
        }
        this.#document = document;
        this.#documentValue = value;
        this.#isChanged = true;
        this.#options.decisions.record({
            decision: Decision.ConfigurationApplied,
            reason: "a newer version was read",
            version: document.version,
        });
        document.findings.forEach(({ place, message }) =>
            this.#record("entry-defective", { place, detail: message, version: document.version })
        );
    }

    #removeOrDelay(key: string): void {
        const { clock, getStoreRegainedTime: getRegainedTime } = this.#options;
        const delayEnd = Math.max(getRegainedTime(), this.#ownRemovalTime, this.#historyLossTime) + REMOVAL_DELAY_MS;
        const remainingMs = delayEnd - clock.getTime();
        if (remainingMs <= 0 || (!this.#upstreams.has(key) && !this.#hosts.has(key))) {
            this.#remove(key);
            return;
        }
        this.#delayedRemovals.add(key);
        clock.schedule(remainingMs, () => {
            if (this.#delayedRemovals.delete(key)) {
                this.#remove(key);
                this.#publish();
            }
        });
    }

    #remove(key: string): void {
        this.#storedVersions.delete(key);
        const upstream = this.#upstreams.get(key);
        if (upstream !== undefined) {
            this.#upstreams.delete(key);
            this.#warmTimes.removeUpstream(key);
            this.#recordRemoved(key, upstream);
            this.#isChanged = true;
            this.#record("upstream-removed", { key });
        }
        const takenBack = this.#evacuatedZones.remove(key);
        if (takenBack !== undefined) {
            this.#isChanged = true;
            this.#warmTimes.recordTakenBack(takenBack);
        }
        if (this.#hosts.delete(key)) {
            this.#isChanged = true;
            this.#record("host-removed", { key });
        }
    }

    #recordRemoved(key: string, upstream: RegisteredUpstream): void {
        this.#removedUpstreams.delete(key);
        this.#removedUpstreams.set(key, upstream);
        if (this.#removedUpstreams.size > MAX_REMOVED_UPSTREAMS) {
            this.#removedUpstreams.delete(this.#removedUpstreams.keys().next().value!);
        }
    }

    #publish(): void {
        if (!this.#isChanged) {
            return;
        }
        this.#isChanged = false;
        this.#hostList = [...this.#hosts.values()];
        this.#evacuatedZones.recordChanges(
            [...this.#upstreams.values()].map(({ upstream }) => upstream.zone),
            this.#hostList.map(({ zone }) => zone),
        );
        if (this.#document !== undefined) {
            this.#configuration = this.#createConfiguration(this.#document);
        }
        this.#listeners.forEach(listener => listener());
    }

    #createConfiguration(document: SuppliedDocument): SuppliedConfiguration {
        const registered = [...this.#upstreams];
        const services: readonly Service[] = document.services.map(({ connections, ...service }) => ({
            ...service,
            upstreams: registered.filter(([, item]) => item.service === service.name).map(([key, { upstream }]) => {
                const warming = this.#warmTimes.apply(key, { ...upstream, connections }, service.coldStartMs ?? 0);
                return this.#evacuatedZones.apply(warming);
            }),
        }));
        return new SuppliedConfiguration({ ...document, services });
    }

    #record(reason: string, figures: Record<string, string | number>): void {
        this.#options.decisions.record({ decision: Decision.SupplyChanged, reason, figures });
    }
}

function isOlder(item: RegisteredUpstream, known: RegisteredUpstream): boolean {
    return item.startTime < known.startTime || (item.startTime === known.startTime && item.sequence < known.sequence);
}

function isSameRegistration(item: RegisteredUpstream, known: RegisteredUpstream): boolean {
    return item.startTime === known.startTime && item.sequence === known.sequence;
}
