import { JSONRPCErrorCode, JSONRPCErrorException } from "json-rpc-2.0";
import { PeerUnavailableError } from "../../errors/index.js";
import type { Member } from "../../head/index.js";
import { PeerMethod } from "../../peers/index.js";
import type { RateLimiterOptions } from "../RateLimiterOptions.js";

/** Interval between checks of an owner, in milliseconds. */
const CHECK_INTERVAL_MS = 400;
const CHECK_TIMEOUT_MS = 350;
/** Interval between checks of another host, in milliseconds. */
const FLEET_CHECK_INTERVAL_MS = 600;
/** Time since an owner's last answer from which the fleet is checked, in milliseconds, so that its answers are there in time. */
const DOUBT_MS = 900;
/** The same for an owner that has not answered yet, from its first check. */
const FIRST_DOUBT_MS = 100;
/** How long an answer of another owner permits this host to grant its share, in milliseconds from the question. */
const LEASE_MS = 1_300;
/**
 * How long an owner must have been silent before the others divide its share, in milliseconds; longer than a lease, so that it has
 * ceased to grant by then.
 */
const TAKE_OVER_MS = 2_000;
/** Without a question about an owner for this long, its checks end, in milliseconds. */
const IDLE_MS = 1_000;
/** How long an owner counts as in touch after its first check has started, in milliseconds: until that check is over. */
const FIRST_CHECK_MS = CHECK_TIMEOUT_MS;

/** Most hosts of a fleet that are checked: among so many, a third of the hosts rarely looks like a majority. */
const MAX_SAMPLE = 35;

/** What is known about another owner. */
interface Contact {
    /** When the checks began; all times are in milliseconds of the clock. */
    start: number;
    /** When somebody last asked about the owner. */
    asked: number;
    /** When the last check began. */
    checked: number;
    /** When the last check began that was answered. */
    answered: number;
    /** The hosts that the owner has heard recently, as of its last answer. */
    heard: ReadonlySet<string>;
}

/**
 * Checks which other owners of accounts' rates this host is in touch with, while it asks about them. Hosts that are cut off in a group
 * hear from nobody whom they have lost, so that the absence of reports on silent hosts proves nothing.
 */
export class OwnerContacts {
    readonly #options: Pick<RateLimiterOptions, "clock" | "membership" | "transport">;
    readonly #contacts = new Map<string, Contact>();
    /** When each host last checked this one. */
    readonly #heard = new Map<string, number>();

    /** @param options - The source of time, the fleet, the calls between hosts and their handlers. */
    constructor(options: Pick<RateLimiterOptions, "clock" | "membership" | "transport" | "handlers">) {
        this.#options = options;
        options.handlers.add(PeerMethod.CheckOwner, ({ owner }) => {
            this.#heard.set(owner, options.clock.getTime());
            return { heard: this.#findHeard() };
        });
    }

    /**
     * Starts or continues the checks of owners.
     * @param owners - The other owners of an account.
     */
    watch(owners: readonly Member[]): void {
        this.#watch(owners, CHECK_INTERVAL_MS);
    }

    /**
     * Whether an owner has answered recently, or its first check is not over yet.
     * @param owner - The owner; it must be watched.
     */
    isInTouch({ id }: Member): boolean {
        const now = this.#options.clock.getTime();
        const contact = this.#contacts.get(id);
        return contact !== undefined && (now - contact.answered < LEASE_MS || now - contact.start < FIRST_CHECK_MS);
    }

    /**
     * Whether an owner may be out of touch soon: its last check was not answered.
     * @param owner - The owner; it must be watched.
     */
    isDoubtful({ id }: Member): boolean {
        const now = this.#options.clock.getTime();
        const contact = this.#contacts.get(id);
        return contact !== undefined && now - contact.start > FIRST_DOUBT_MS && now - contact.answered > DOUBT_MS;
    }

    /** Starts or continues the checks of the fleet, of a sample of it if it is large. */
    watchFleet(): void {
        this.#watch(this.#getSample(), FLEET_CHECK_INTERVAL_MS);
    }

    /** Whether most hosts of the fleet have answered recently, by the checks of the fleet. */
    hasMajority(): boolean {
        return 2 * this.getAnsweringShare() > 1;
    }

    /** Gets the share of the fleet that has answered recently, this host included, by the checks of the fleet. */
    getAnsweringShare(): number {
        const now = this.#options.clock.getTime();
        const sample = this.#getSample();
        const answering = sample.filter(({ id }) => now - (this.#contacts.get(id)?.answered ?? -Infinity) < LEASE_MS);
        return (answering.length + 1) / (sample.length + 1);
    }

    /**
     * Whether an owner has been silent for so long that it grants nothing any more: to this host, to the owners in touch, and by the reports
     * on silent hosts.
     * @param owner - The owner; it must be watched.
     * @param others - The other owners of the account.
     */
    isLost({ id }: Member, others: readonly Member[]): boolean {
        const now = this.#options.clock.getTime();
        const contact = this.#contacts.get(id);
        if (contact === undefined || now - Math.max(contact.start, contact.answered) < TAKE_OVER_MS) {
            return false;
        }
        return now - (this.#heard.get(id) ?? Number.NEGATIVE_INFINITY) >= TAKE_OVER_MS &&
            !this.#options.membership.isReachable(id) &&
            !others.some(other => this.isInTouch(other) && this.#contacts.get(other.id)!.heard.has(id));
    }

    #watch(members: readonly Member[], intervalMs: number): void {
        const now = this.#options.clock.getTime();
        for (const member of members) {
            const known = this.#contacts.get(member.id);
            const contact = known === undefined || now - known.asked > IDLE_MS ? createContact(now) : known;
            contact.asked = now;
            this.#contacts.set(member.id, contact);
            if (now - contact.checked >= intervalMs) {
                contact.checked = now;
                void this.#check(member, contact);
            }
        }
    }

    #getSample(): readonly Member[] {
        const { membership } = this.#options;
        const self = membership.getSelf().id;
        const members = membership.getView().members.filter(({ id }) => id !== self);
        const step = Math.max(1, Math.ceil(members.length / MAX_SAMPLE));
        return members.filter((_, index) => index % step === 0);
    }

    async #check(owner: Member, contact: Contact): Promise<void> {
        const { clock, membership, transport } = this.#options;
        const time = clock.getTime();
        const params = { owner: membership.getSelf().id };
        try {
            const result = await transport.send(owner.peerAddress, PeerMethod.CheckOwner, params, CHECK_TIMEOUT_MS);
            contact.answered = time;
            contact.heard = new Set(result.heard);
        }
        catch (error) {
            // A host of an earlier version refuses the call, which shows that it is in touch.
            if (isRefusedCall(error)) {
                contact.answered = time;
            }
        }
    }

    #findHeard(): string[] {
        const now = this.#options.clock.getTime();
        for (const [id, time] of this.#heard) {
            if (now - time >= LEASE_MS) {
                this.#heard.delete(id);
            }
        }
        return [...this.#heard.keys()];
    }
}

function isRefusedCall(error: unknown): boolean {
    const cause = error instanceof PeerUnavailableError ? error.cause : undefined;
    return cause instanceof JSONRPCErrorException && cause.code === JSONRPCErrorCode.MethodNotFound;
}

function createContact(now: number): Contact {
    return {
        start: now,
        asked: now,
        checked: Number.NEGATIVE_INFINITY,
        answered: Number.NEGATIVE_INFINITY,
        heard: new Set(),
    };
}
