import type { Head, Member, MembershipView } from "../head/index.js";
import { Decision } from "../logging/index.js";
import { ContactTimes } from "./ContactTimes.js";
import { Freshness } from "./Freshness.js";
import { getAccountKey } from "./getAccountKey.js";
import { Gossip } from "./Gossip.js";
import { HeadTracker } from "./HeadTracker.js";
import { LayoutHistory } from "./LayoutHistory.js";
import { MajorityPoll } from "./MajorityPoll.js";
import type { Membership } from "./Membership.js";
import type { MembershipOptions } from "./MembershipOptions.js";
import { PullTargets } from "./PullTargets.js";
import { Reachability } from "./Reachability.js";
import { RendezvousTable } from "./RendezvousTable.js";
import { StoppedMembers } from "./StoppedMembers.js";
import { StoreWatch } from "./StoreWatch.js";
import { ViewWriter } from "./ViewWriter.js";

const DEFAULT_ACCOUNT_HOSTS = 3;
const SERVICE_HOST_CANDIDATES = 4;
const DEFAULT_PULL_INTERVAL_MS = 250;
const STATUS_INTERVAL_MS = 250;
const LEAVE_POLL_INTERVAL_MS = 50;
const WATCHERS_PER_ZONE = 2;
const WATCHER_KEY = "head-watch";
const EMPTY_VIEW: MembershipView = { version: 0, members: [] };

type ViewListener = (view: MembershipView, previous: MembershipView) => void;

/** The membership of an entry host: the view, its freshness, and the hosts selected for accounts and services. */
export class MembershipService implements Membership {
    readonly #options: MembershipOptions;
    readonly #tracker: HeadTracker;
    readonly #contactTimes = new ContactTimes();
    readonly #stopped: StoppedMembers;
    readonly #freshness: Freshness;
    readonly #reachability: Reachability;
    readonly #layouts = new LayoutHistory();
    readonly #gossip: Gossip;
    readonly #storeWatch: StoreWatch;
    readonly #viewWriter: ViewWriter;
    readonly #poll: MajorityPoll;
    readonly #listeners: ViewListener[] = [];
    readonly #controller = new AbortController();
    /** The rendezvous tables of the views that are still in use. */
    readonly #tables = new WeakMap<MembershipView, RendezvousTable>();
    #tasks: Promise<void>[] = [];
    #wasCurrent = false;

    /** @param options - Dependencies and settings. */
    constructor(options: MembershipOptions) {
        const { clock, transport, self, headStore, hostList } = options;
        this.#options = options;
        this.#tracker = new HeadTracker(options.installer);
        this.#stopped = new StoppedMembers(clock, hostList, this.#tracker, this.#contactTimes, options.hostListLagMs);
        this.#freshness = new Freshness(clock, self, this.#tracker, this.#contactTimes, this.#stopped);
        this.#reachability = new Reachability(clock, self.id, this.#tracker, this.#contactTimes);
        this.#poll = new MajorityPoll(clock, transport, self, this.#tracker, this.#stopped);
        this.#storeWatch = new StoreWatch(clock, headStore, this.#tracker, this.#contactTimes, () => this.#isWatcher());
        this.#gossip = this.#createGossip();
        this.#viewWriter = this.#createViewWriter();
        this.#tracker.addListener((head, previous) => this.#receiveHead(head, previous));
    }

    /** Starts the tasks of the membership. */
    start(): void {
        const { signal } = this.#controller;
        const runs = [
            this.#gossip.run(signal),
            this.#storeWatch.run(signal),
            this.#stopped.run(signal),
            this.#viewWriter.run(signal),
            this.#runStatus(signal),
        ];
        this.#tasks = runs.map(async run => await run.catch(error => this.#checkIsStopping(error)));
    }

    /** Stops the tasks. */
    async stop(): Promise<void> {
        this.#controller.abort();
        await Promise.all(this.#tasks);
    }

    /**
     * Hands this host's responsibilities over and leaves the view; returns whether the active view no longer has it.
     * @param timeoutMs - How long to wait, in milliseconds.
     */
    async leave(timeoutMs: number): Promise<boolean> {
        const { clock, handOver } = this.#options;
        const deadline = clock.getTime() + timeoutMs;
        await handOver?.();
        this.#viewWriter.leave();
        while (this.#isMember() && clock.getTime() < deadline) {
            await clock.wait(LEAVE_POLL_INTERVAL_MS);
        }
        return !this.#isMember();
    }

    /** Gets this entry host's own entry. */
    getSelf(): Member {
        return this.#options.self;
    }

    /** Gets the active view. */
    getView(): MembershipView {
        return this.#tracker.getHead()?.view ?? EMPTY_VIEW;
    }

    /** Gets the head that this host has installed; undefined before the first. */
    getHead(): Head | undefined {
        return this.#tracker.getHead();
    }

    /** Whether this host may serve: its head version was confirmed within the freshness bound. */
    isCurrent(): boolean {
        return this.#freshness.isCurrent();
    }

    /** Gets the time since a majority was last known to have had no newer head, in milliseconds; Infinity if never. */
    getMajorityAge(): number {
        return this.#freshness.getMajorityAge();
    }

    /**
     * Whether a member has answered recently, directly or through another member.
     * @param memberId - The member's id.
     */
    isReachable(memberId: string): boolean {
        return this.#reachability.isReachable(memberId);
    }

    /**
     * Gets the account hosts of a client account, first choice first.
     * @param account - The account's name; undefined for callers without an API key.
     * @param view - The view to select from; the active view if undefined.
     */
    getAccountHosts(account: string | undefined, view?: MembershipView): readonly Member[] {
        const count = this.#options.accountHostCount ?? DEFAULT_ACCOUNT_HOSTS;
        return this.#getTable(view ?? this.getView()).selectAcrossZones(getAccountKey(account), count);
    }

    /**
     * Gets the service hosts of a part of a service, first choice first.
     * @param service - The service's name.
     * @param zone - The availability zone of the upstreams.
     * @param partKey - Identifies the part of the service; the zone if the service is not divided within it.
     */
    getServiceHosts(service: string, zone: string, partKey = zone): readonly Member[] {
        return this.#getTable(this.getView()).selectInZone(
            `service ${service} ${partKey}`,
            zone,
            SERVICE_HOST_CANDIDATES,
        );
    }

    /**
     * Adds a listener that runs after each change of the active view.
     * @param listener - Receives the new and the previous view.
     */
    addViewListener(listener: ViewListener): void {
        this.#listeners.push(listener);
    }

    /**
     * Installs a head that this host has written or read; returns whether the installed head is now at least as new.
     * @param head - The head.
     */
    async applyHead(head: Head): Promise<boolean> {
        return await this.#tracker.apply(head);
    }

    /**
     * Waits until a majority of the active view, and of the proposed view if there is one, has installed at least a
     * version; returns whether it has.
     * @param version - The head version.
     * @param timeoutMs - How long to wait, in milliseconds.
     */
    async waitForMajority(version: number, timeoutMs: number): Promise<boolean> {
        const getViews = (): readonly MembershipView[] => {
            const head = this.#tracker.getHead();
            if (head === undefined || head.version < version) {
                return [];
            }
            return head.nextView === undefined ? [head.view] : [head.view, head.nextView];
        };
        return await this.#poll.run(version, getViews, timeoutMs, this.#controller.signal);
    }

    #createGossip(): Gossip {
        const { clock, random, transport, handlers, self, seedAddresses } = this.#options;
        const isReachable = (memberId: string): boolean => this.isReachable(memberId);
        return new Gossip({
            clock,
            random,
            transport,
            handlers,
            self,
            tracker: this.#tracker,
            evidence: this.#contactTimes,
            freshness: this.#freshness,
            layouts: this.#layouts,
            targets: new PullTargets({
                random,
                tracker: this.#tracker,
                stopped: this.#stopped,
                self,
                seedAddresses,
                isReachable,
            }),
            pullIntervalMs: this.#options.pullIntervalMs ?? DEFAULT_PULL_INTERVAL_MS,
        });
    }

    #createViewWriter(): ViewWriter {
        const { clock, random, transport, handlers, headStore, self } = this.#options;
        return new ViewWriter({
            clock,
            random,
            transport,
            handlers,
            headStore,
            self,
            tracker: this.#tracker,
            stopped: this.#stopped,
            poll: this.#poll,
            isReachable: memberId => this.isReachable(memberId),
            isStoreEmpty: () => this.#storeWatch.isEmpty(),
        });
    }

    #receiveHead(head: Head, previous: Head | undefined): void {
        this.#layouts.add(head);
        const previousView = previous?.view ?? EMPTY_VIEW;
        if (head.view.version === previousView.version) {
            return;
        }
        this.#options.log.record({
            decision: Decision.ViewChanged,
            reason: "a new view became active",
            member: this.#options.self.id,
            version: head.view.version,
            figures: { members: head.view.members.length },
        });
        for (const listener of this.#listeners) {
            listener(head.view, previousView);
        }
    }

    #getTable(view: MembershipView): RendezvousTable {
        const table = this.#tables.get(view) ?? new RendezvousTable(view.members);
        this.#tables.set(view, table);
        return table;
    }

    #isMember(): boolean {
        const { id, incarnation } = this.#options.self;
        return this.getView().members.some(member => member.id === id && member.incarnation === incarnation);
    }

    /**
     * Whether this host watches the store: the first reachable members of each zone do, and any host whose head nothing
     * else confirms.
     */
    #isWatcher(): boolean {
        const { self } = this.#options;
        if (!this.#isMember() || !this.isCurrent()) {
            return true;
        }
        const ranking = this.#getTable(this.getView()).getRanking(WATCHER_KEY);
        const reachable = ranking.filter(member => member.zone === self.zone && this.isReachable(member.id));
        return reachable.slice(0, WATCHERS_PER_ZONE).some(member => member.id === self.id);
    }

    async #runStatus(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.#recordStatus();
            await this.#options.clock.wait(STATUS_INTERVAL_MS, signal);
        }
    }

    #recordStatus(): void {
        const isCurrent = this.isCurrent();
        if (isCurrent !== this.#wasCurrent) {
            this.#wasCurrent = isCurrent;
            this.#options.log.record({
                decision: isCurrent ? Decision.BecameCurrent : Decision.BecameStale,
                reason: isCurrent ? "the head was confirmed" : "the head was not confirmed within the freshness bound",
                member: this.#options.self.id,
                version: this.#tracker.getVersion(),
            });
        }
    }

    #checkIsStopping(error: unknown): void {
        if (!this.#controller.signal.aborted) {
            throw error;
        }
    }
}
