import type { Account } from "../configuration/index.js";
import { ServiceBench } from "../fakes/index.js";
import { OutcomeKind } from "../outcomes/index.js";
import type { ServiceAnswer } from "../services/index.js";
import type { MeasuredService } from "./MeasuredService.js";

const DURATION_MS = 30_000;
const END_MS = 5_000;
const TIMEOUT_MS = 1_000;
/** Share of the capacity that all accounts use together when each sends at its rate. */
const UTILIZATION = 0.8;
const MS_PER_SECOND = 1_000;

/**
 * Measures the share of each account's requests that are answered, in virtual time.
 * @param deployment - The service.
 * @param accounts - The accounts that send.
 * @param excess - How many times its rate each account sends.
 * @param seed - Fixes the run.
 * @param totalRate - Rate of all accounts of the deployment together, which decides the service time.
 */
export async function measureShares(
    deployment: MeasuredService,
    accounts: readonly Account[],
    excess: (account: Account) => number,
    seed: number,
    totalRate: number,
): Promise<ReadonlyMap<string, number>> {
    const { upstreams, slots, floor, queuePerSlot, detection } = deployment;
    const serviceTimeMs = UTILIZATION * upstreams * slots * MS_PER_SECOND / totalRate;
    const bench = new ServiceBench({
        seed,
        upstreams,
        slots,
        detection,
        service: { floor, queuePerSlot },
        fakes: { serviceTimeMs },
    });
    bench.weights = Object.fromEntries(accounts.map(account => [account.name, account.rate]));
    bench.upstreams.isRecording = false;
    const loads = accounts.map(account =>
        bench.sendLoad(account.rate * excess(account), DURATION_MS, { account: account.name, timeoutMs: TIMEOUT_MS })
    );
    await bench.clock.run(DURATION_MS + END_MS);
    const answers = await Promise.all(loads);
    return new Map(accounts.map((account, index) => [account.name, getDoneShare(answers[index]!)]));
}

function getDoneShare(answers: readonly ServiceAnswer[]): number {
    return answers.filter(answer => answer.outcome.kind === OutcomeKind.Done).length / answers.length;
}
