"""Names in `Hello.features`: what a node reads beyond the first release."""

__all__ = ["ORGANISATIONS"]

# Bundle texts with organisations and public routes.
ORGANISATIONS = "organisations"
