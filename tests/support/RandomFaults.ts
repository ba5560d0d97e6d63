import { FakeFleet } from "../../src/fakes/index.js";
import { FRESHNESS_BOUND_MS } from "../../src/membership/index.js";
import { SeededRandom } from "../../src/random/index.js";

const STEP_MS = 50;
const ACCEPT_TIMEOUT_MS = 4_000;
const MAX_ACTION_INTERVAL_MS = 1_500;
const MAX_DELAY_MS = 400;
const WRITE_SHARE = 0.1;
const FIRST_HOSTS = 5;
const ALL_HOSTS = 9;

/** Applies random faults and changes to a fleet, and checks that no host is current with an outdated head. */
export class RandomFaults {
    /** The faults and accepted changes, oldest first. */
    readonly trace: string[] = [];
    readonly violations: string[] = [];
    acceptedChanges = 0;
    readonly #fleet: FakeFleet;
    readonly #random: SeededRandom;
    readonly #accepted: { version: number; time: number; }[] = [];
    readonly #paused = new Set<number>();
    readonly #leaving = new Set<number>();
    readonly #actions: readonly (() => void)[] = [
        () => this.#closePartition(),
        () => this.#closeDirection(),
        () => this.#closeStore(),
        () => this.#removeCuts(),
        () => this.#removeCuts(),
        () => this.#stopProcess(),
        () => this.#startProcesses(),
        () => this.#stopHost(),
        () => this.#startHost(),
        () => this.#startHost(),
        () => this.#removeHost(),
        () => this.#applyStoreFault(),
        () => this.#applyAnswerFault(),
        () => this.#applyDelay(),
        () => this.#applyInstallFault(),
        () => this.#applyAnswerDelay(),
        () => this.#applyAnswerDelay(),
    ];

    /** @param seed - Seed of the faults and of the hosts' random numbers. */
    constructor(seed: number) {
        this.#fleet = new FakeFleet(seed);
        this.#random = new SeededRandom(seed);
    }

    /**
     * Runs faults for a time.
     * @param durationMs - How long, in milliseconds of the fleet's clock.
     */
    async run(durationMs: number): Promise<void> {
        this.#fleet.start(...Array.from({ length: FIRST_HOSTS }, (_, index) => index));
        await this.#fleet.wait(() => this.#fleet.isSettled(), durationMs);
        const end = this.#fleet.clock.getTime() + durationMs;
        let nextAction = 0;
        while (this.#fleet.clock.getTime() < end) {
            if (this.#fleet.clock.getTime() >= nextAction) {
                this.#selectRandom(this.#actions)();
                nextAction = this.#fleet.clock.getTime() + this.#random.getNext() * MAX_ACTION_INTERVAL_MS;
            }
            if (this.#random.getNext() < WRITE_SHARE) {
                this.#write();
            }
            await this.#fleet.clock.run(STEP_MS);
            this.#checkHosts();
        }
    }

    #checkHosts(): void {
        const now = this.#fleet.clock.getTime();
        const due = this.#accepted.filter(change => change.time + FRESHNESS_BOUND_MS < now);
        const version = Math.max(0, ...due.map(change => change.version));
        for (const index of this.#getActive()) {
            const { membership } = this.#fleet.get(index);
            const installed = membership.getHead()?.version ?? 0;
            if (installed < version && membership.isCurrent()) {
                this.violations.push(`${now}: host ${index} is current at ${installed}, ${version} was accepted`);
            }
        }
    }

    #closePartition(): void {
        const indexes = this.#fleet.getIndexes();
        const isolated = indexes.filter(() => this.#random.getNext() < 1 / 2);
        const others = indexes.filter(index => !isolated.includes(index));
        this.#record(`cut ${isolated.join(",")} from ${others.join(",")}`);
        this.#fleet.route(isolated, others, false);
        if (this.#random.getNext() < 1 / 2) {
            this.#fleet.route(others, isolated, false);
        }
        for (const index of this.#random.getNext() < 2 / 3 ? isolated : []) {
            this.#fleet.get(index).store.isCut = true;
        }
    }

    #closeDirection(): void {
        const [from, to] = [this.#selectRandomHost(), this.#selectRandomHost()];
        this.#record(`cut ${from} to ${to}`);
        this.#fleet.route([from], [to], false);
    }

    #closeStore(): void {
        const index = this.#selectRandomHost();
        this.#record(`cut ${index} from the store`);
        this.#fleet.get(index).store.isCut = true;
    }

    #removeCuts(): void {
        this.#record("heal");
        const all = Array.from({ length: ALL_HOSTS }, (_, index) => index);
        this.#fleet.route(all, all, true);
        for (const index of this.#getActive()) {
            this.#fleet.get(index).store.isCut = false;
            this.#fleet.get(index).installer.isFailing = false;
        }
    }

    #stopProcess(): void {
        const index = this.#selectRandomHost();
        this.#record(`freeze ${index}`);
        this.#paused.add(index);
        this.#fleet.stopProcess(index);
    }

    #startProcesses(): void {
        for (const index of this.#paused) {
            this.#record(`resume ${index}`);
            this.#fleet.startProcess(index);
        }
        this.#paused.clear();
    }

    /** Stops a host only if a majority of each view keeps running: a change is lost when all hosts that hold it have stopped. */
    #stopHost(): void {
        const index = this.#selectRandomHost();
        const head = this.#fleet.get(index).membership.getHead();
        const running = this.#fleet.getIndexes().map(one => `host-${one}`);
        const views = head === undefined ? [] : [head.view, head.nextView ?? head.view];
        const isMajority = views.every(view =>
            view.members.filter(member => running.includes(member.id)).length - 1 > view.members.length / 2
        );
        if (isMajority && !this.#paused.has(index) && this.#fleet.getIndexes().length > FIRST_HOSTS - 1) {
            this.#record(`kill ${index}`);
            this.#leaving.delete(index);
            this.#fleet.stop(index);
        }
    }

    #startHost(): void {
        const index = Math.floor(this.#random.getNext() * ALL_HOSTS);
        if (!this.#fleet.getIndexes().includes(index)) {
            this.#record(`start ${index}`);
            this.#fleet.start(index);
        }
    }

    #removeHost(): void {
        const index = this.#selectRandomHost();
        if (this.#fleet.getIndexes().length > FIRST_HOSTS && !this.#leaving.has(index)) {
            this.#record(`leave ${index}`);
            this.#leaving.add(index);
            void this.#fleet.get(index).membership.leave(ACCEPT_TIMEOUT_MS);
        }
    }

    #applyStoreFault(): void {
        const { faults } = this.#fleet.store;
        faults.isAway = !faults.isAway && this.#random.getNext() < 1 / 2;
        this.#record(`store ${faults.isAway ? "away" : "back"}`);
    }

    #applyAnswerFault(): void {
        const { faults } = this.#fleet.store;
        faults.losesWriteAnswers = !faults.losesWriteAnswers;
        this.#record(`store answers ${faults.losesWriteAnswers ? "lost" : "arrive"}`);
    }

    #applyInstallFault(): void {
        const index = this.#selectRandomHost();
        const { installer } = this.#fleet.get(index);
        installer.isFailing = !installer.isFailing;
        this.#record(`installations at ${index} ${installer.isFailing ? "fail" : "succeed"}`);
    }

    #applyAnswerDelay(): void {
        const index = this.#selectRandomHost();
        const host = this.#fleet.get(index);
        const channel = this.#random.getNext() < 1 / 2 ? host.store : host.transport;
        channel.answerDelayMs = channel.answerDelayMs > 0 ? 0 : this.#random.getNext() * FRESHNESS_BOUND_MS;
        this.#record(
            `answers of the ${channel === host.store ? "store" : "peers"} to ${index}: ${channel.answerDelayMs}`,
        );
    }

    #applyDelay(): void {
        this.#fleet.network.delayMs = Math.ceil(this.#random.getNext() ** 2 * MAX_DELAY_MS);
        this.#record(`delay ${this.#fleet.network.delayMs}`);
    }

    #write(): void {
        const index = this.#selectRandomHost();
        if (!this.#paused.has(index)) {
            void this.#runWrite(index).catch(() => {});
        }
    }

    async #runWrite(index: number): Promise<void> {
        const { membership } = this.#fleet.get(index);
        const version = await this.#fleet.write(index);
        if (await membership.waitForMajority(version, ACCEPT_TIMEOUT_MS)) {
            this.acceptedChanges++;
            this.#record(`accepted ${version} at ${index}`);
            this.#accepted.push({ version, time: this.#fleet.clock.getTime() });
        }
    }

    #getActive(): readonly number[] {
        return this.#fleet.getIndexes().filter(index => !this.#paused.has(index));
    }

    #selectRandomHost(): number {
        return this.#selectRandom(this.#fleet.getIndexes());
    }

    #selectRandom<T>(values: readonly T[]): T {
        return values[Math.floor(this.#random.getNext() * values.length)]!;
    }

    #record(event: string): void {
        this.trace.push(`${this.#fleet.clock.getTime()}: ${event}`);
    }
}
