import type { Member } from "../head/index.js";
import { Decision } from "../logging/index.js";
import { PeerMethod } from "../peers/index.js";
import { createParts } from "./createParts.js";
import type { PushReplicaParams } from "./PushReplicaParams.js";
import type { ReplicaKeeperOptions } from "./ReplicaKeeperOptions.js";

/** How long a host may take to answer. */
const PUSH_TIMEOUT_MS = 600;
/** A host hears from a watcher this often, also while the watcher's calls to the store fail. */
const HEARTBEAT_MS = 1_300;
/** Pause before a host that didn't answer is tried again. */
const RETRY_MS = 300;
/** Failures in a row after which a host counts as unreachable. */
const FAILURES = 2;

interface PushTarget {
    /** The revision that the host has told last. */
    revision: number;
    /** Failures in a row. */
    failures: number;
    isStopped: boolean;
    /** Whether something is to be passed on that the push under way may not hold. */
    isDue: boolean;
    /** Ends the pause before the next push. */
    wake: () => void;
}

/** Passes the replica on to the other hosts, with one task for each. */
export class PushPeers {
    readonly #options: ReplicaKeeperOptions;
    readonly #createPush: () => Omit<PushReplicaParams, "from" | "events" | "parts">;
    readonly #targets = new Map<string, PushTarget>();
    #isActive = false;

    /**
     * @param options - What the keeper works with.
     * @param createPush - Creates what all hosts are told.
     */
    constructor(
        options: ReplicaKeeperOptions,
        createPush: () => Omit<PushReplicaParams, "from" | "events" | "parts">,
    ) {
        this.#options = options;
        this.#createPush = createPush;
    }

    /** Whether changes are passed on. */
    isActive(): boolean {
        return this.#isActive;
    }

    /** Whether any host has answered the last push to it. */
    isAnswered(): boolean {
        return [...this.#targets.values()].some(target => target.revision > 0 && target.failures === 0);
    }

    /** Gets the ids of the hosts that don't answer. */
    getUnreachable(): ReadonlySet<string> {
        return new Set([...this.#targets].filter(([, target]) => target.failures >= FAILURES).map(([id]) => id));
    }

    /** Starts to pass changes on, to hosts that are new too. */
    start(): void {
        this.#isActive = true;
        const members = this.#options.getOrder().filter(member => member.id !== this.#options.selfId);
        const ids = new Set(members.map(member => member.id));
        for (const [id, target] of this.#targets) {
            if (!ids.has(id)) {
                this.#stopTarget(id, target);
            }
        }
        members.filter(member => !this.#targets.has(member.id)).forEach(member => this.#startTarget(member));
    }

    /** Passes on what is new. */
    send(): void {
        for (const target of this.#targets.values()) {
            target.isDue = true;
            if (target.failures === 0) {
                target.wake();
            }
        }
    }

    /** Stops to pass changes on. */
    stop(): void {
        this.#isActive = false;
        this.#targets.forEach((target, id) => this.#stopTarget(id, target));
    }

    #startTarget(member: Member): void {
        const target: PushTarget = { revision: 0, failures: 0, isStopped: false, isDue: false, wake: () => {} };
        this.#targets.set(member.id, target);
        void this.#runTarget(member, target);
    }

    #stopTarget(id: string, target: PushTarget): void {
        this.#targets.delete(id);
        target.isStopped = true;
        target.wake();
    }

    async #runTarget(member: Member, target: PushTarget): Promise<void> {
        const { clock, replica } = this.#options;
        while (!target.isStopped) {
            target.isDue = false;
            const isSent = await this.#sendTo(member, target);
            if (isSent && (target.isDue || target.revision < replica.getRevision())) {
                continue;
            }
            await new Promise<void>(resolve => {
                const timer = clock.schedule(isSent ? HEARTBEAT_MS : RETRY_MS, resolve);
                target.wake = () => {
                    timer.cancel();
                    resolve();
                };
            });
        }
    }

    async #sendTo(member: Member, target: PushTarget): Promise<boolean> {
        const { replica, transport } = this.#options;
        const events = target.revision === 0 ? undefined : replica.findChanges(target.revision);
        const params: PushReplicaParams = {
            ...this.#createPush(),
            from: target.revision,
            events: events ?? [],
            ...(events === undefined && target.failures === 0 ? { parts: createParts(replica) } : {}),
        };
        try {
            const result = await transport.send(
                member.peerAddress,
                PeerMethod.PushReplica,
                params,
                PUSH_TIMEOUT_MS,
            );
            target.revision = result.revision;
            if (target.failures >= FAILURES) {
                this.#recordContact(member, "host-answers", { failures: target.failures });
            }
            target.failures = 0;
            return true;
        }
        catch (error) {
            target.failures++;
            if (target.failures === FAILURES && !target.isStopped) {
                this.#recordContact(member, "host-silent", {
                    error: error instanceof Error ? error.message : String(error),
                });
            }
            return false;
        }
    }

    #recordContact(member: Member, reason: string, figures: Readonly<Record<string, number | string>>): void {
        const { decisions } = this.#options;
        decisions.record({ decision: Decision.DependencyChanged, reason, member: member.id, figures });
    }
}
