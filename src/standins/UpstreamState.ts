/** What an upstream's health and load endpoints report. */
export interface UpstreamState {
    readonly isDraining: boolean;
    readonly busy: number;
    readonly queued: number;
}
