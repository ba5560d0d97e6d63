import type { Explanation } from "./Explanation.js";
import type { LoggedDecision } from "./LoggedDecision.js";

/**
 * Formats an explanation as text.
 * @param explanation - The explanation.
 */
export function formatExplanation({ requestId, path, cause, findings }: Explanation): string {
    const lines = [`request ${requestId}`, ...path.map(item => `  ${formatDecision(item)}`)];
    lines.push(`cause: ${cause.kind}: ${cause.summary}`);
    lines.push(...cause.evidence.map(item => `  ${formatDecision(item)}`));
    lines.push(...findings.map(({ place, message }) => `not read: ${place}: ${message}`));
    return lines.join("\n");
}

function formatDecision(item: LoggedDecision): string {
    const { host, decision, reason, file, line, time, figures, detail } = item;
    const { requestId, account, service, upstream, member, version } = item;
    const subjects = { requestId, account, service, upstream, member, version, ...figures };
    const fields = Object.entries(subjects).filter(([, value]) => value !== undefined)
        .map(([name, value]) => `${name}=${value}`);
    const text = detail === undefined ? "" : ` "${detail}"`;
    return `${host} ${new Date(time).toISOString()} ${decision} ${reason} ${fields.join(" ")}${text} (${file}:${line})`;
}
