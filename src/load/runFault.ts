import { request } from "undici";
import { FuchsiapathError, UnexpectedVariantError } from "../errors/index.js";
import type { Experiment } from "./Experiment.js";
import type { ExperimentFault } from "./ExperimentFault.js";
import { FaultKind } from "./FaultKind.js";

const STATUS_REDIRECT = 300;

/**
 * Causes a fault; rejects if that fails.
 * @param fault - The fault.
 * @param experiment - The experiment, for the targets and processes that it names.
 */
export async function runFault(fault: ExperimentFault, experiment: Experiment): Promise<void> {
    switch (fault.kind) {
        case FaultKind.Control:
            return await sendRequest(experiment.targets[fault.target]!, "POST", {}, fault.body);
        case FaultKind.Operator: {
            const url = experiment.targets[fault.target]! + (fault.path ?? "");
            return await sendRequest(url, fault.method, fault.headers, fault.body);
        }
        case FaultKind.Signal:
            process.kill(experiment.processes[fault.process]!, fault.signal);
            return;
        default:
            throw new UnexpectedVariantError(fault);
    }
}

async function sendRequest(
    url: string,
    method: "GET" | "POST" | "PUT" | "PATCH" | "DELETE",
    headers: Record<string, string>,
    body: unknown,
): Promise<void> {
    const answer = await request(url, {
        method,
        headers: { "content-type": "application/json", ...headers },
        body: body === undefined ? null : JSON.stringify(body),
    });
    const text = await answer.body.text();
    if (answer.statusCode >= STATUS_REDIRECT) {
        throw new FuchsiapathError(`${method} ${url} answered ${answer.statusCode}: ${text}`);
    }
}
