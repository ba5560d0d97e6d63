import { request } from "undici";
import { FuchsiapathError, UnexpectedVariantError } from "../errors/index.js";
import type { Experiment } from "./Experiment.js";
import type { ExperimentFault } from "./ExperimentFault.js";
import { FaultKind } from "./FaultKind.js";

const STATUS_REDIRECT = 300;
const CONFIGURATION_PATH = "/v1/configuration";
const CURRENT_VERSION = "current";

type OperatorFault = Extract<ExperimentFault, { readonly kind: FaultKind.Operator; }>;

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
            const target = experiment.targets[fault.target]!;
            const body = await createOperatorBody(target, fault);
            return await sendRequest(target + (fault.path ?? ""), fault.method, fault.headers, body);
        }
        case FaultKind.Signal:
            process.kill(experiment.processes[fault.process]!, fault.signal);
            return;
        default:
            throw new UnexpectedVariantError(fault);
    }
}

/** Fills in the version in force where the body asks for it. */
async function createOperatorBody(target: string, fault: OperatorFault): Promise<unknown> {
    if (fault.body?.["baseVersion"] !== CURRENT_VERSION) {
        return fault.body;
    }
    const answer = await request(target + CONFIGURATION_PATH, { headers: fault.headers });
    const { version } = await answer.body.json() as { version: number; };
    return { ...fault.body, baseVersion: version };
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
