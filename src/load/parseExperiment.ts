import type { Finding } from "../errors/index.js";
import { FindingsError, UnexpectedVariantError } from "../errors/index.js";
import { parseValue } from "../utils/index.js";
import type { Experiment } from "./Experiment.js";
import type { ExperimentFault } from "./ExperimentFault.js";
import type { ExperimentPlace } from "./ExperimentPlace.js";
import { experimentSchema } from "./experimentSchema.js";
import { FaultKind } from "./FaultKind.js";

/**
 * Parses an experiment; throws a FindingsError with everything that is wrong.
 * @param value - The experiment file's content.
 * @param place - Where it runs.
 */
export function parseExperiment(value: unknown, place: ExperimentPlace): Experiment {
    const experiment = mergePlace(parseValue(experimentSchema, value), place);
    const findings = checkExperiment(experiment);
    if (findings.length > 0) {
        throw new FindingsError(findings);
    }
    return experiment;
}

function mergePlace(experiment: Experiment, place: ExperimentPlace): Experiment {
    return {
        ...experiment,
        entries: [...experiment.entries, ...place.entries],
        records: [...experiment.records, ...place.records],
        targets: { ...experiment.targets, ...place.targets },
        processes: { ...experiment.processes, ...place.processes },
        accounts: experiment.accounts.map(account => {
            const key = account.key ?? place.keys[account.name];
            return key === undefined ? account : { ...account, key };
        }),
    };
}

function checkExperiment(experiment: Experiment): Finding[] {
    const names = experiment.accounts.map(account => account.name);
    return [
        ...experiment.entries.length === 0 ? [{ place: "entries", message: "must name at least one entry host" }] : [],
        ...experiment.accounts.flatMap((account, index) =>
            names.indexOf(account.name) === index
                ? []
                : [{ place: `accounts.${index}.name`, message: `${account.name} stands twice` }]
        ),
        ...experiment.faults.flatMap((fault, index) => checkFault(experiment, fault, `faults.${index}`)),
    ];
}

function checkFault(experiment: Experiment, fault: ExperimentFault, place: string): Finding[] {
    switch (fault.kind) {
        case FaultKind.Control:
        case FaultKind.Operator:
            return fault.target in experiment.targets
                ? []
                : [{ place: `${place}.target`, message: `there is no target ${fault.target}` }];
        case FaultKind.Signal:
            return fault.process in experiment.processes
                ? []
                : [{ place: `${place}.process`, message: `there is no process ${fault.process}` }];
        default:
            throw new UnexpectedVariantError(fault);
    }
}
