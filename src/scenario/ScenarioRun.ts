import { ChangeAnswerKind, ChangeKind, type ChangeOperation, createKey } from "../configuration/index.js";
import { FuchsiapathError, UnexpectedVariantError } from "../errors/index.js";
import { FRESHNESS_BOUND_MS } from "../membership/index.js";
import { OutcomeKind } from "../outcomes/index.js";
import { SeededRandom } from "../random/index.js";
import type { AcceptedChange } from "./AcceptedChange.js";
import type { CallResult } from "./CallResult.js";
import { checkRuns } from "./checkRuns.js";
import { createScenarioDocument } from "./createScenarioDocument.js";
import type { Scenario } from "./Scenario.js";
import { ScenarioCaller } from "./ScenarioCaller.js";
import { ScenarioFleet } from "./ScenarioFleet.js";
import type { ScenarioResult } from "./ScenarioResult.js";
import type { ScenarioStep } from "./ScenarioStep.js";
import { StepKind } from "./StepKind.js";

const ACCOUNTS = ["shop-1", "shop-2", "shop-3"];
const START_TIMEOUT_MS = 60_000;
const STEP_MS = 50;
const SETTLE_MS = 40_000;
const CHANGE_ATTEMPTS = 5;
const CHANGE_PAUSE_MS = 500;
const MS_PER_SECOND = 1_000;
const BYTE_VALUES = 256;
const MAX_FINDINGS = 10;

type ExpectStep = Extract<ScenarioStep, { do: StepKind.Expect; }>;
type LoadStep = Extract<ScenarioStep, { do: StepKind.Load; }>;

/** Runs a scenario with one seed on in-process hosts; time, random numbers, network, store and upstreams are fakes. */
export class ScenarioRun {
    readonly #scenario: Scenario;
    readonly #seed: number;
    readonly #random: SeededRandom;
    readonly #fleet: ScenarioFleet;
    readonly #keys = new Map<string, string>();
    readonly #callers = new Map<string, ScenarioCaller>();
    readonly #results: CallResult[] = [];
    readonly #accepted: AcceptedChange[] = [];
    readonly #findings: string[] = [];
    readonly #trace: string[] = [];
    #startTime = 0;
    #nextReference = 1;
    #nextChange = 1;

    /**
     * @param scenario - The scenario.
     * @param seed - Seed of all random numbers.
     */
    constructor(scenario: Scenario, seed: number) {
        this.#scenario = scenario;
        this.#seed = seed;
        this.#random = new SeededRandom(seed);
        this.#fleet = new ScenarioFleet(seed);
    }

    /** Runs all steps and checks what the upstreams ran. */
    async run(): Promise<ScenarioResult> {
        await this.#startFleet();
        const steps = this.#scenario.steps.map((step, index) => ({ step, index }))
            .sort((left, right) => left.step.at - right.step.at || left.index - right.index);
        for (const { step, index } of steps) {
            await this.#runUntil(this.#startTime + step.at);
            this.#record(`step ${index}: ${step.do}`);
            await this.#runStep(step, index);
        }
        await this.#runUntil(this.#fleet.clock.getTime() + SETTLE_MS);
        this.#checkRuns("end");
        return { seed: this.#seed, findings: this.#findings, trace: this.#trace, counts: this.#getCounts() };
    }

    async #runUntil(time: number): Promise<void> {
        while (this.#fleet.clock.getTime() < time) {
            await this.#fleet.clock.run(Math.min(STEP_MS, time - this.#fleet.clock.getTime()));
            this.#checkVersions();
        }
    }

    /** No host may serve by a configuration older than one accepted longer ago than the freshness bound. */
    #checkVersions(): void {
        const now = this.#fleet.clock.getTime();
        const due = this.#accepted.filter(change => change.time + FRESHNESS_BOUND_MS < now);
        const version = Math.max(0, ...due.map(change => change.version));
        for (const { index, host } of this.#fleet.getHosts().filter(one => !one.isFrozen)) {
            const installed = host.getConfiguration().version;
            const isOutdated = installed < version && host.membership.isCurrent();
            this.#check(
                !isOutdated,
                `${now - this.#startTime} ms`,
                `host ${index} serves by ${installed} after ${version}`,
            );
        }
    }

    async #startFleet(): Promise<void> {
        const { hosts } = this.#scenario;
        await Promise.all(Array.from({ length: hosts }, (_, index) => this.#fleet.start(index)));
        const isSettled = (): boolean =>
            this.#fleet.getHosts().every(({ host }) =>
                host.membership.isCurrent() && host.membership.getView().members.length === hosts
            );
        await this.#waitFor(isSettled, "the hosts formed no view");
        const keys = ACCOUNTS.map(account => createKey(account, size => this.#createBytes(size)));
        keys.forEach((key, index) => this.#keys.set(ACCOUNTS[index]!, key.text));
        const document = createScenarioDocument(this.#fleet.zones, keys.map(key => key.record));
        const operations = Object.entries(document).map(([section, content]) => (
            { kind: ChangeKind.PutSection as const, section, content }
        ));
        void this.#applyChange(0, operations);
        const isInForce = (): boolean =>
            this.#fleet.getHosts().every(({ host }) => host.getConfiguration().findRoute("/orders") !== undefined);
        await this.#waitFor(isInForce, "the configuration did not come in force");
        await this.#fleet.clock.run(SETTLE_MS);
        this.#startTime = this.#fleet.clock.getTime();
    }

    async #runStep(step: ScenarioStep, index: number): Promise<void> {
        const fleet = this.#fleet;
        switch (step.do) {
            case StepKind.Start:
                await Promise.all(step.hosts.map(host => fleet.start(host)));
                return;
            case StepKind.Load:
                void this.#runLoad(step);
                return;
            case StepKind.Cut:
                fleet.route(step.from, step.to ?? [], false);
                this.#applyStoreCut(step.store === true ? step.from : [], true);
                return;
            case StepKind.Heal:
                fleet.route(this.#getIndexes(), this.#getIndexes(), true);
                this.#applyStoreCut(this.#getIndexes(), false);
                return;
            case StepKind.Freeze:
            case StepKind.Resume:
                step.hosts.forEach(host => fleet.applyFreeze(host, step.do === StepKind.Freeze));
                return;
            case StepKind.Kill:
                step.hosts.forEach(host => fleet.stop(host));
                return;
            case StepKind.Stop:
                step.hosts.forEach(host => void fleet.drain(host));
                return;
            case StepKind.Store:
                fleet.store.faults.isAway = step.isAway;
                return;
            case StepKind.Answers:
                fleet.store.faults.losesWriteAnswers = step.areLost;
                return;
            case StepKind.Apply: {
                const account = { name: step.account, rate: step.rate, burst: step.burst };
                void this.#applyChange(step.host, [{ kind: ChangeKind.PutAccount, section: "accounts", account }]);
                return;
            }
            case StepKind.Withdraw: {
                const keyId = this.#keys.get(step.account)!.split(".")[0]!;
                void this.#applyChange(step.host, [{ kind: ChangeKind.WithdrawKey, keyId }]);
                return;
            }
            case StepKind.Drain: {
                const { upstream } = step;
                void this.#applyChange(step.host, [{ kind: ChangeKind.DrainUpstream, upstream, draining: true }]);
                return;
            }
            case StepKind.Upstream:
                fleet.upstreams.applyFaults(step.name, step.faults);
                return;
            case StepKind.Expect:
                this.#checkExpected(step, `step ${index}`);
                this.#checkRuns(`step ${index}`);
                return;
            default:
                throw new UnexpectedVariantError(step);
        }
    }

    async #runLoad(step: LoadStep): Promise<void> {
        const end = this.#fleet.clock.getTime() + step.forMs;
        const caller = this.#getCaller(step.account);
        while (this.#fleet.clock.getTime() < end) {
            const reference = `${step.name}-${this.#nextReference++}`;
            void caller.run(step.name, step.route, reference).then(result => this.#results.push(result));
            await this.#fleet.clock.wait(MS_PER_SECOND / step.perSecond * (1 / 2 + this.#random.getNext()));
        }
    }

    /** Asks again with the same change id while the outcome is open, as the operators' program does. */
    async #applyChange(index: number, operations: readonly ChangeOperation[]): Promise<void> {
        const id = `scenario-${this.#nextChange++}`;
        const baseVersion = this.#fleet.find(index)?.host.membership.getHead()?.version ?? 0;
        for (let attempt = 0; attempt < CHANGE_ATTEMPTS; attempt++) {
            const change = { id, operator: "office", baseVersion, operations };
            const answer = await this.#fleet.find(index)?.host.changes.apply(change);
            this.#trace.push(`change ${id}: ${answer?.kind ?? "no host"}`);
            if (answer?.kind === ChangeAnswerKind.Accepted) {
                const time = this.#fleet.clock.getTime();
                this.#accepted.push(...operations.map(operation => ({ version: answer.version, time, operation })));
            }
            if (answer?.kind === ChangeAnswerKind.Accepted || answer?.kind === ChangeAnswerKind.Refused) {
                return;
            }
            await this.#fleet.clock.wait(CHANGE_PAUSE_MS);
        }
    }

    #checkExpected(step: ExpectStep, place: string): void {
        const results = this.#results.filter(result => result.load === step.load);
        const getShare = (kind: OutcomeKind): number =>
            results.filter(result => result.kind === kind).length / Math.max(1, results.length);
        this.#check(getShare(OutcomeKind.Done) >= (step.doneAtLeast ?? 0), place, "too few requests were done");
        this.#check(getShare(OutcomeKind.NotRun) <= (step.refusedAtMost ?? 1), place, "too many were refused");
        this.#check(getShare(OutcomeKind.Unknown) <= (step.unknownAtMost ?? 1), place, "too many are unknown");
        const open = results.filter(result => result.hasOpenAttempt).length / Math.max(1, results.length);
        this.#check(open <= (step.openAtMost ?? 1), place, "too many had an attempt without a known outcome");
        if (step.current !== undefined) {
            const current = this.#fleet.getHosts().filter(({ host }) => host.membership.isCurrent());
            const found = current.map(host => host.index).sort((left, right) => left - right);
            this.#check(String(found) === String(step.current), place, `the hosts ${found} are current`);
        }
        const accepted = this.#accepted.filter(change => change.operation.kind !== ChangeKind.PutSection).length;
        const isAccepted = step.changesAccepted === undefined || step.changesAccepted === accepted;
        this.#check(isAccepted, place, `${accepted} changes were accepted`);
    }

    #checkRuns(place: string): void {
        const { records } = this.#fleet.upstreams;
        const found = checkRuns(this.#results, records, this.#accepted, this.#keys);
        found.slice(0, MAX_FINDINGS).forEach(finding => this.#check(false, place, finding));
    }

    #check(isMet: boolean, place: string, finding: string): void {
        if (!isMet) {
            this.#findings.push(`${place}, seed ${this.#seed}: ${finding}`);
        }
    }

    #getCounts(): Record<string, number> {
        const counts: Record<string, number> = {};
        for (const result of this.#results) {
            const key = `${result.load}: ${result.kind}${result.kind === OutcomeKind.Done ? "" : ` ${result.reason}`}`;
            counts[key] = (counts[key] ?? 0) + 1;
        }
        return counts;
    }

    #applyStoreCut(indexes: readonly number[], isCut: boolean): void {
        for (const host of indexes.map(index => this.#fleet.find(index))) {
            if (host !== undefined && !host.isFrozen) {
                host.store.isCut = isCut;
            }
        }
    }

    #getIndexes(): readonly number[] {
        return this.#fleet.getHosts().map(host => host.index);
    }

    #getCaller(account: string): ScenarioCaller {
        let caller = this.#callers.get(account);
        if (caller === undefined) {
            caller = new ScenarioCaller(this.#fleet, this.#random, account, this.#keys.get(account)!);
            this.#callers.set(account, caller);
        }
        return caller;
    }

    async #waitFor(isMet: () => boolean, failure: string): Promise<void> {
        const end = this.#fleet.clock.getTime() + START_TIMEOUT_MS;
        while (!isMet()) {
            if (this.#fleet.clock.getTime() > end) {
                throw new FuchsiapathError(`Seed ${this.#seed}: ${failure}.`);
            }
            await this.#fleet.clock.run(STEP_MS);
        }
    }

    #createBytes(size: number): Buffer {
        return Buffer.from(Array.from({ length: size }, () => Math.floor(this.#random.getNext() * BYTE_VALUES)));
    }

    #record(event: string): void {
        this.#trace.push(`${this.#fleet.clock.getTime() - this.#startTime} ${event}`);
    }
}
