import { SeededRandom } from "../random/index.js";
import { AccountLoad } from "./AccountLoad.js";
import { AddressBook } from "./AddressBook.js";
import type { AuditReport } from "./AuditReport.js";
import { Caller } from "./Caller.js";
import type { CallerTransport } from "./CallerTransport.js";
import { checkRecords } from "./checkRecords.js";
import type { ExperimentAccount } from "./ExperimentAccount.js";
import type { ExperimentFault } from "./ExperimentFault.js";
import type { FaultReport } from "./FaultReport.js";
import { formatFault } from "./formatFault.js";
import type { LoadReport } from "./LoadReport.js";
import type { LoadRunOptions } from "./LoadRunOptions.js";
import { readRecords } from "./readRecords.js";
import { ResultBook } from "./ResultBook.js";
import { runFault } from "./runFault.js";

const REFERENCE_RADIX = 36;
const SEED_STEP = 7_919;

/** One run of an experiment. */
export class LoadRun {
    /** The results so far. */
    readonly results = new ResultBook();
    readonly #options: LoadRunOptions;
    readonly #transports: CallerTransport[] = [];
    readonly #startedAt: number;

    /** @param options - What it is built from. */
    constructor(options: LoadRunOptions) {
        this.#options = options;
        this.#startedAt = options.clock.getWallTime();
    }

    /** Runs the experiment and reports on it. */
    async run(): Promise<LoadReport> {
        const { experiment } = this.#options;
        const loads = experiment.accounts.map((account, index) =>
            this.#createLoad(account, index).run(experiment.durationMs)
        );
        const faults = Promise.all(experiment.faults.map(fault => this.#runFault(fault)));
        await this.#waitForResults(Promise.all(loads));
        const report = await this.#createReport(await faults);
        await Promise.all(this.#transports.map(transport => transport.close()));
        return report;
    }

    async #waitForResults(loads: Promise<unknown>): Promise<void> {
        const { clock, experiment } = this.#options;
        const controller = new AbortController();
        const limit = clock.wait(experiment.durationMs + experiment.longestWaitMs, controller.signal).catch(() => {});
        await Promise.race([loads, limit]);
        controller.abort();
    }

    #createLoad(account: ExperimentAccount, index: number): AccountLoad {
        const { clock, experiment } = this.#options;
        return new AccountLoad({
            account,
            callers: Array.from({ length: account.callers }, (_, caller) => this.#createCaller(account, index, caller)),
            clock,
            random: new SeededRandom(experiment.seed * SEED_STEP + index),
            results: this.results,
            runId: this.#startedAt.toString(REFERENCE_RADIX),
        });
    }

    #createCaller(account: ExperimentAccount, index: number, caller: number): Caller {
        const { clock, createTransport, experiment } = this.#options;
        const transport = createTransport();
        this.#transports.push(transport);
        const random = new SeededRandom((experiment.seed * SEED_STEP + index) * SEED_STEP + caller);
        const { key } = account;
        const { entries, lookupTimeoutMs: timeoutMs } = experiment;
        const book = new AddressBook({ clock, random, transport, entries, key, timeoutMs });
        return new Caller({ account: account.name, key, book, transport, clock, random, experiment });
    }

    async #runFault(fault: ExperimentFault): Promise<FaultReport> {
        const { clock, experiment } = this.#options;
        await clock.wait(fault.atMs);
        const causedAt = clock.getWallTime();
        const failure = await runFault(fault, experiment).then(() => undefined, (error: Error) => error.message);
        return { description: formatFault(fault), causedAt, failure };
    }

    async #createReport(faults: readonly FaultReport[]): Promise<LoadReport> {
        const { clock, experiment } = this.#options;
        const results = this.results.getResults();
        const audit = await this.#createAudit().catch((error: Error) => error);
        const isAudited = !(audit instanceof Error);
        const unaccounted = this.results.getSent() - results.length;
        const hasWrong = results.some(result => result.isWrong);
        const hasFailedFault = faults.some(fault => fault.failure !== undefined);
        return {
            name: experiment.name,
            seed: experiment.seed,
            startedAt: this.#startedAt,
            durationMs: clock.getWallTime() - this.#startedAt,
            latenessP99Ms: this.results.getLatenessP99Ms(),
            accounts: this.results.createReports(),
            faults,
            unaccounted,
            audit: isAudited ? audit : undefined,
            auditFailure: isAudited ? undefined : audit.message,
            isClean: unaccounted === 0 && isAudited && !hasViolation(audit) && !hasWrong && !hasFailedFault,
        };
    }

    async #createAudit(): Promise<AuditReport | undefined> {
        const { accounts, records } = this.#options.experiment;
        if (records.length === 0) {
            return undefined;
        }
        const secrets = accounts.flatMap(account => account.key === undefined ? [] : [getSecret(account.key)]);
        return checkRecords(this.results.getResults(), await readRecords(records), secrets);
    }
}

function getSecret(key: string): string {
    return key.slice(key.indexOf(".") + 1);
}

function hasViolation(audit: AuditReport | undefined): boolean {
    return audit !== undefined &&
        audit.doubles + audit.lost + audit.falseRefusals + audit.leakedKeys + audit.wrongAccounts > 0;
}
