import { RouteKind } from "../../src/configuration/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import type { CallerRequest } from "../../src/requests/index.js";
import { createAccountFleet } from "./createAccountFleet.js";

const HOST_COUNT = 6;
const RESEND_INTERVAL_MS = 3_000;
const VIEW_CHANGE_MS = 6_000;
const HEAL_MS = 10_000;
const END_MS = 40_000;

interface OrderAnswer {
    readonly kind: string;
    readonly runs: number;
}

/** Runs one order that its caller resends until it is answered, while one fault is injected. */
export class OrderFaultRun {
    readonly fleet = createAccountFleet(HOST_COUNT);
    readonly answers: OrderAnswer[] = [];
    /** Index of the host that the order is sent to first; if the order's key has a prefix, it names this host. */
    firstHost = 0;
    /** Index of the service host of the same zone. */
    serviceHost = 0;
    readonly #paused = new Set<number>();
    #key = "";
    #isStopped = false;

    /**
     * Starts the fleet and selects the first host and the service host.
     * @param isPrefixed - Whether the order's key has a prefix.
     */
    async start(isPrefixed: boolean): Promise<void> {
        await this.fleet.start();
        const { hosts } = this.fleet;
        const first = hosts[0]!.membership.getServiceHosts("looms", hosts[0]!.member.zone)[0]!;
        this.serviceHost = hosts.findIndex(host => host.member.id === first.id);
        this.firstHost = hosts.findIndex(host => host.member.zone === first.zone && host.member.id !== first.id);
        this.#key = isPrefixed ? `${hosts[this.firstHost]!.host.createKeyPrefix()}.own-1` : "own-1";
    }

    /**
     * Sends the order at an interval while a fault starts and is healed.
     * @param faultMs - When the fault starts, in milliseconds after the first send.
     * @param fault - Starts the fault.
     * @param stopsAtNotRun - Whether the caller stops resending after the first answer "not run".
     */
    async run(faultMs: number, fault: (run: OrderFaultRun) => void, stopsAtNotRun: boolean): Promise<void> {
        const { clock } = this.fleet;
        clock.schedule(faultMs, () => fault(this));
        clock.schedule(VIEW_CHANGE_MS, () => this.#removeDeadFromView());
        clock.schedule(HEAL_MS, () => this.#removeFaults());
        const others = [1, 2, 3].map(step => (this.firstHost + step) % HOST_COUNT);
        for (let elapsedMs = 0, index = 0; elapsedMs < END_MS; elapsedMs += RESEND_INTERVAL_MS, index++) {
            const target = index % 2 === 0 ? this.firstHost : others[index % others.length]!;
            this.#send(target, stopsAtNotRun);
            await clock.run(RESEND_INTERVAL_MS);
        }
    }

    /** Gets how often an upstream ran the order. */
    getRuns(): number {
        return this.fleet.runs.length;
    }

    /**
     * Kills the process of a host.
     * @param index - Index of the host.
     */
    stopHost(index: number): void {
        const host = this.fleet.hosts[index]!;
        host.isDead = true;
        host.clock.stop();
        this.fleet.network.removeHost(host.member.peerAddress);
    }

    /**
     * Kills the process of a host and starts another one at its address, which is a member at once.
     * @param index - Index of the host.
     */
    startReplacement(index: number): void {
        const { member, membership } = this.fleet.hosts[index]!;
        this.stopHost(index);
        const view = membership.getView();
        const changed = view.members.map(other => other.id === member.id ? { ...other, incarnation: "i2" } : other);
        const next = { version: view.version + 1, members: changed };
        const replaced = this.fleet.addHost(member.id, member.zone, "i2", next);
        this.fleet.hosts.splice(this.fleet.hosts.indexOf(replaced), 1);
        this.fleet.hosts[index] = replaced;
        this.fleet.applyView(next);
    }

    /**
     * Pauses the process of a host until the faults are healed.
     * @param index - Index of the host.
     */
    stopProcess(index: number): void {
        const host = this.fleet.hosts[index]!;
        this.#paused.add(index);
        host.clock.stop();
        this.fleet.network.stopAnswers(host.member.peerAddress);
    }

    #send(index: number, stopsAtNotRun: boolean): void {
        const host = this.fleet.hosts[index]!;
        const isAnswering = !host.isDead && !this.#paused.has(index);
        if (this.#isStopped || !isAnswering) {
            return;
        }
        const fields: Partial<CallerRequest> = { idempotencyKey: this.#key };
        const request = this.fleet.createRequest(RouteKind.Order, fields);
        void this.fleet.run(index, request).then(outcome => {
            if (!host.isDead) {
                this.#addAnswer(outcome, stopsAtNotRun);
            }
        });
    }

    #addAnswer(outcome: Outcome, stopsAtNotRun: boolean): void {
        const kind = outcome.kind === OutcomeKind.Done ? "done" : `${outcome.kind} ${outcome.reason}`;
        this.answers.push({ kind, runs: this.getRuns() });
        const isFinal = outcome.kind === OutcomeKind.Done || (outcome.kind === OutcomeKind.NotRun && stopsAtNotRun);
        this.#isStopped ||= isFinal;
    }

    #removeDeadFromView(): void {
        const { hosts } = this.fleet;
        const view = hosts.find(host => !host.isDead)!.membership.getView();
        const members = view.members.filter(member => !hosts.some(host => host.isDead && host.member.id === member.id));
        if (members.length < view.members.length) {
            this.fleet.applyView({ version: view.version + 1, members });
        }
    }

    #removeFaults(): void {
        const { hosts, network, store } = this.fleet;
        this.#paused.clear();
        store.faults.isAway = false;
        store.faults.losesWriteAnswers = false;
        for (const { member, clock, isDead } of hosts) {
            network.startAnswers(member.peerAddress);
            hosts.forEach(other => network.openDirection(member.peerAddress, other.member.peerAddress));
            if (!isDead) {
                clock.start();
            }
        }
    }
}
