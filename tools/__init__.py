"""Programs for developers: demonstration, measurements, test runner."""
